"""A bounded ring of bytes: one for each direction of a connection."""

from __future__ import annotations


class Ring:
    """Bytes in order, never more than `capacity`. Space is handed out and data read without copies."""

    __slots__ = ("_buffer", "_head", "_size", "_view", "capacity")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._buffer = bytearray(capacity)
        self._view = memoryview(self._buffer)
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    def room(self) -> memoryview:
        """The free space that follows the data in one piece; empty only where the ring is full."""
        if not self._size:
            self._head = 0
        tail = self._head + self._size
        if tail >= self.capacity:
            return self._view[tail - self.capacity:self._head]
        return self._view[tail:]

    def filled(self, count: int) -> None:
        """So many bytes of `room()` now hold data."""
        self._size += count

    def put(self, data: bytes) -> bool:
        """Append all of the data, or nothing and False where it does not fit."""
        if len(data) > self.capacity - self._size:
            return False
        at = 0
        while at < len(data):
            room = self.room()
            part = data[at:at + len(room)]
            room[:len(part)] = part
            self._size += len(part)
            at += len(part)
        return True

    def front(self) -> memoryview:
        """The first data in one piece; what has wrapped round follows once this is dropped."""
        return self._view[self._head:min(self._head + self._size, self.capacity)]

    def find(self, mark: bytes, start: int = 0) -> int:
        """How many bytes stand before the one-byte mark, from `start` on; -1 where there is none."""
        wrap = self.capacity - self._head
        if start < wrap:
            at = self._buffer.find(mark, self._head + start, min(self._head + self._size, self.capacity))
            if at >= 0:
                return at - self._head
        if self._size > wrap:
            at = self._buffer.find(mark, max(0, start - wrap), self._size - wrap)
            if at >= 0:
                return at + wrap
        return -1

    def copy(self, count: int, start: int = 0) -> bytes:
        """So many bytes from `start` on, which stay in the ring."""
        first = self._head + start
        if first >= self.capacity:
            first -= self.capacity
        last = first + count
        if last <= self.capacity:
            return bytes(self._view[first:last])
        return bytes(self._view[first:]) + bytes(self._view[:last - self.capacity])

    def drop(self, count: int) -> None:
        self._head += count
        if self._head >= self.capacity:
            self._head -= self.capacity
        self._size -= count

    def take(self, count: int) -> bytes:
        data = self.copy(count)
        self.drop(count)
        return data
