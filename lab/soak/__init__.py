"""The soak: real processes under series of faults, judged from outside by the operators' rules."""
