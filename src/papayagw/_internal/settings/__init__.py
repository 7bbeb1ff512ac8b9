"""Loading of settings: JSON with comments, validated into frozen data classes."""
