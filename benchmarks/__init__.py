"""Long measurements, one command each, not part of CI; their figures are kept in `figures`."""
