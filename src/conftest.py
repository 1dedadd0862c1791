"""Settings for all tests."""

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Runs asynchronous tests on asyncio, as the programs do."""
    return "asyncio"
