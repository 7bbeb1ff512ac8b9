"""Decisions of the plain UDP front end: who owns a flow, who takes an opening."""
