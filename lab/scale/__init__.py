"""A scale run: many hollow proxies beside a few real ones, as processes on loopback in real time."""
