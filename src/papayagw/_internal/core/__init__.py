"""Decision logic, free of input, output, clocks and codecs."""
