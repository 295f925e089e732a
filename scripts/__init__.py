"""Developer scripts: demonstrations, proofs and generated pages."""
