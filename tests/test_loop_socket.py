"""Messages of a zmq socket are all taken, in turns with other work."""

import asyncio
import time

import pytest
import zmq

from firhook import _loop_socket
from firhook._loop_socket import LoopSocket


class Ends:
    """A socket on the loop, and a plain one that is connected to it."""

    def __init__(self, on_message=None):
        self.taken = []
        self.ctx = zmq.Context()
        self.peer = self.ctx.socket(zmq.DEALER)
        self.peer.rcvhwm = 1
        port = self.peer.bind_to_random_port("tcp://127.0.0.1")
        sock = self.ctx.socket(zmq.DEALER)
        sock.sndhwm = 1
        sock.linger = 0
        sock.connect(f"tcp://127.0.0.1:{port}")
        self.end = LoopSocket(sock, on_message or self.take)
        self.end.start()

    def take(self, frames):
        self.taken.append(int(frames[0]))

    def send(self, *numbers):
        for number in numbers:
            self.peer.send_multipart([b"%d" % number])
        time.sleep(0.05)

    def close(self):
        self.end.close()
        self.peer.close(linger=0)
        self.ctx.term()


@pytest.fixture
def play():
    """Run a scenario with both ends."""

    def run(scenario, on_message=None):
        async def main():
            ends = Ends(on_message)
            try:
                await asyncio.sleep(0.05)
                await asyncio.wait_for(scenario(ends), 5.0)
            finally:
                ends.close()

        asyncio.run(main())

    return run


async def until_taken(ends, count):
    while len(ends.taken) < count:
        await asyncio.sleep(0.01)


def test_message_that_came_while_another_was_sent_is_taken(play):
    """Sending takes the only signal that a message waits, which then stayed unread."""

    async def scenario(ends):
        ends.send(1)
        assert ends.end.send([b"x"])
        await until_taken(ends, 1)

    play(scenario)


def test_long_burst_is_taken_in_order_and_leaves_turns_to_other_work(play):
    """A peer that sends without end kept the loop from everything else."""

    async def scenario(ends):
        count = 3 * _loop_socket._MAX_BATCH_MESSAGES
        ends.send(*range(count))
        seen = []
        while len(ends.taken) < count:
            await asyncio.sleep(0)
            seen.append(len(ends.taken))
        assert ends.taken == list(range(count))
        assert any(0 < taken < count for taken in seen)

    play(scenario)


def test_message_whose_handler_fails_does_not_hold_up_those_behind_it(play):
    """An error of one handler left the rest of a burst unread."""
    taken = []

    def on_message(frames):
        if frames[0] == b"0":
            raise ValueError("broken")
        taken.append(int(frames[0]))

    async def scenario(ends):
        ends.send(0, 1, 2)
        while len(taken) < 2:
            await asyncio.sleep(0.01)

    play(scenario, on_message)


def test_message_that_came_while_another_was_refused_is_taken(play):
    """A message that cannot be sent takes the only signal just as one that is."""

    async def scenario(ends):
        full = 0
        while full < 5:
            full = 0 if ends.end.send([bytes(1 << 20)]) else full + 1
            await asyncio.sleep(0.02)
        ends.send(1)
        assert not ends.end.send([b"x"])
        await until_taken(ends, 1)

    play(scenario)
