"""The tool's side of the operators' and callers' interface."""

import asyncio
import os
from typing import Any

import aiohttp
import msgspec

from firhook.errors import FirhookError


class RefusedError(FirhookError):
    """An instance refused what was asked of it.

    :param problem: the problem document.
    """

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(str(problem.get("detail", "")))
        self.problem = problem


def call(url: str, key: str, method: str, path: str, body: Any = None) -> Any:
    """Call an instance and return the decoded answer.

    :param url: base address of the cell, such as ``http://10.0.0.7:8080``.
    :raises RefusedError: with the instance's problem document.
    """
    return asyncio.run(_call(url, key, method, path, body))


async def _call(url: str, key: str, method: str, path: str, body: Any) -> Any:
    headers = {"Authorization": f"Bearer {key}"}
    data = None if body is None else msgspec.json.encode(body)
    timeout = aiohttp.ClientTimeout(total=30)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url + path, headers=headers, data=data) as resp,
        ):
            answer = msgspec.json.decode(await resp.read() or b"null")
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
        raise RefusedError(
            {
                "code": "cell.unreachable",
                "title": "The cell cannot be reached",
                "detail": f"{url}: {exc!r}",
                "remedy": "Check --url, or FIRHOOK_URL, and the network.",
            }
        ) from exc
    if resp.status >= 400:
        raise RefusedError(answer)
    return answer


def default_url() -> str:
    """Return the cell's address from the environment."""
    return os.environ.get("FIRHOOK_URL", "http://127.0.0.1:8080")


def default_key() -> str:
    """Return the key from the environment."""
    return os.environ.get("FIRHOOK_KEY", "")
