"""Scripts for developers: the demonstration, proofs and rendered pages."""
