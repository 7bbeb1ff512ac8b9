"""Data types of the plain UDP front end, whose packets carry no flow tag."""
