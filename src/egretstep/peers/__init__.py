"""Messages and links between the programs of egretstep."""
