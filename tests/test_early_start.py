"""Startup steps that run before most modules are imported."""

import ssl

import pytest

from firhook._early_start import skip_certificate_stores


def test_no_certificates_are_loaded_after_a_start(monkeypatch: pytest.MonkeyPatch):
    """Loading them takes a fifth of the time in which a new instance serves nobody."""
    monkeypatch.setenv("SSL_CERT_FILE", "")
    monkeypatch.setenv("SSL_CERT_DIR", "")
    skip_certificate_stores()
    assert ssl.create_default_context().cert_store_stats()["x509"] == 0
