"""HTTP client for the API of an instance."""

import asyncio
import os
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from firhook.errors import FirhookError

_TIMEOUT_S = 30


class RefusedError(FirhookError):
    """An instance refused a request or could not be reached.

    :param problem: the problem document that describes the error.
    """

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(str(problem.get("detail", "")))
        self.problem = problem


def local_error(code: str, title: str, detail: str, remedy: str) -> RefusedError:
    """Return an error of the tool itself in the form of a problem document."""
    return RefusedError(
        {"code": code, "title": title, "detail": detail, "remedy": remedy}
    )


def call(url: str, key: str, method: str, path: str, body: Any = None) -> Any:
    """Call an instance and return the decoded response.

    :param url: base URL of the cell, such as ``http://10.0.0.7:8080``.
    :raises RefusedError: with the instance's problem document.
    """
    return asyncio.run(_call(url, key, method, path, body))


def stream(url: str, key: str, path: str, on_line: Callable[[Any], None]) -> None:
    """Call an instance and process each JSON line of its response as it arrives.

    :param on_line: receives each decoded line.
    :raises RefusedError: with the instance's problem document.
    """
    asyncio.run(_stream(url, key, path, on_line))


def _unreachable(url: str, exc: Exception) -> RefusedError:
    return local_error(
        "cell.unreachable",
        "The cell cannot be reached",
        f"{url}: {str(exc) or type(exc).__name__}",
        "Check --url, or FIRHOOK_URL, and the network.",
    )


def _decode_answer(status: int, text: bytes) -> Any:
    """Return the decoded response of an instance.

    :raises RefusedError: if the status code signals an error.
    """
    answer = msgspec.json.decode(text or b"null")
    if status < 400:
        return answer
    if not isinstance(answer, dict) or "code" not in answer:
        answer = {
            "code": "cell.not_firhook",
            "title": "The response is not from firhook",
            "detail": f"status {status}",
            "remedy": "Check that --url, or FIRHOOK_URL, names an instance's port.",
        }
    raise RefusedError(answer)


def _headers(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"} if key else {}


async def _call(url: str, key: str, method: str, path: str, body: Any) -> Any:
    data = None if body is None else msgspec.json.encode(body)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=_headers(key)) as session,
            session.request(method, url + path, data=data) as resp,
        ):
            return _decode_answer(resp.status, await resp.read())
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise _unreachable(url, exc) from exc


async def _stream(
    url: str, key: str, path: str, on_line: Callable[[Any], None]
) -> None:
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=_headers(key)) as session,
            session.get(url + path) as resp,
        ):
            if resp.status >= 400:
                _decode_answer(resp.status, await resp.read())
            async for line in resp.content:
                on_line(msgspec.json.decode(line))
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise _unreachable(url, exc) from exc


def default_url() -> str:
    """Return the URL of the cell from the environment."""
    return os.environ.get("FIRHOOK_URL", "http://127.0.0.1:8080")


def default_key() -> str:
    """Return the API key from the environment."""
    return os.environ.get("FIRHOOK_KEY", "")
