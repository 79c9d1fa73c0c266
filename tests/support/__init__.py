"""What tests share: the sender's surroundings, played here."""
