"""Stand-ins for the ends of an exchange."""

from guavagap.exchange import Downstream

__all__ = ["Upload"]


class Upload(Downstream):
    """A request with a body in parts, of which the first is kept for attempts."""

    def __init__(self, parts: list[bytes]):
        self.chunks = parts[:1]
        self.is_body_complete = False
        self._unread = parts[1:]

    async def read_body(self):
        if self._unread:
            return self._unread.pop(0)
        self.is_body_ended = True
        return None

    async def send_response(self, response):
        self.is_response_started = True

    async def send_chunks(self, chunks, is_complete):
        pass
