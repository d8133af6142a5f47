"""Crowds of hostile clients before one real process, whose resident memory is measured meanwhile."""
