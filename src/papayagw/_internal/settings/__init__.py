"""JSON with comments, checked and made into frozen data classes."""
