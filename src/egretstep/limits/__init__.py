"""Rate and burst of each workspace over the whole fleet."""
