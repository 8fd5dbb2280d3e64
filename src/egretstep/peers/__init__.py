"""Messages and connections between the programs of egretstep."""
