"""Routing logic of the plain UDP front end: flow ownership and admission."""
