"""The event loop reads all messages of a zmq socket without blocking other work."""

import asyncio
import time

import pytest
import zmq

from firhook import _loop_socket
from firhook._loop_socket import LoopSocket


class ConnectedSockets:
    """A socket read by the event loop, connected to a synchronous one.

    :param in_process: whether they are connected without the operating system, whose
        buffers take messages beyond the limits of both sockets.
    """

    def __init__(self, on_message=None, in_process=False):
        self.received = []
        self.ctx = zmq.Context()
        self.peer = self.ctx.socket(zmq.DEALER)
        self.peer.rcvhwm = 1
        if in_process:
            address = "inproc://peer"
            self.peer.bind(address)
        else:
            port = self.peer.bind_to_random_port("tcp://127.0.0.1")
            address = f"tcp://127.0.0.1:{port}"
        sock = self.ctx.socket(zmq.DEALER)
        sock.sndhwm = 1
        sock.linger = 0
        sock.connect(address)
        self.loop_socket = LoopSocket(sock, on_message or self.record)
        self.loop_socket.start()

    def record(self, frames):
        self.received.append(int(frames[0]))

    def send(self, *numbers):
        for number in numbers:
            self.peer.send_multipart([b"%d" % number])
        time.sleep(0.05)

    def close(self):
        self.loop_socket.close()
        self.peer.close(linger=0)
        self.ctx.term()


@pytest.fixture
def run_scenario():
    """Return a function that runs a scenario with connected sockets."""

    def run(scenario, on_message=None, in_process=False):
        async def main():
            sockets = ConnectedSockets(on_message, in_process)
            try:
                await asyncio.sleep(0.05)
                await asyncio.wait_for(scenario(sockets), 5.0)
            finally:
                sockets.close()

        asyncio.run(main())

    return run


async def wait_for_messages(sockets, count):
    while len(sockets.received) < count:
        await asyncio.sleep(0.01)


def test_message_that_arrived_before_a_send_is_received(run_scenario):
    """A send clears the only notification of a message that must still be read."""

    async def scenario(sockets):
        sockets.send(1)
        assert sockets.loop_socket.send([b"x"])
        await wait_for_messages(sockets, 1)

    run_scenario(scenario)


def test_long_burst_is_received_in_order_and_yields_to_other_work(run_scenario):
    """A peer that sends without pause must not block all other work of the loop."""

    async def scenario(sockets):
        count = 3 * _loop_socket._MAX_BATCH_MESSAGES
        sockets.send(*range(count))
        counts = []
        while len(sockets.received) < count:
            await asyncio.sleep(0)
            counts.append(len(sockets.received))
        assert sockets.received == list(range(count))
        assert any(0 < received < count for received in counts)

    run_scenario(scenario)


def test_failed_handler_does_not_block_later_messages(run_scenario):
    """An error in the handler must not leave the rest of a burst unread."""
    received = []

    def on_message(frames):
        if frames[0] == b"0":
            raise ValueError("broken")
        received.append(int(frames[0]))

    async def scenario(sockets):
        sockets.send(0, 1, 2)
        while len(received) < 2:
            await asyncio.sleep(0.01)

    run_scenario(scenario, on_message)


def test_message_that_arrived_before_a_refused_send_is_received(run_scenario):
    """A send that fails clears the only notification, as a successful one does."""

    async def scenario(sockets):
        limit = sockets.loop_socket.sock.sndhwm + sockets.peer.rcvhwm
        for _ in range(limit):
            assert sockets.loop_socket.send([b"x"])
        assert not sockets.loop_socket.send([b"x"])
        sockets.send(1)
        assert not sockets.loop_socket.send([b"x"])
        await wait_for_messages(sockets, 1)

    run_scenario(scenario, in_process=True)
