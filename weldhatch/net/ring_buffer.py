"""A bounded ring of bytes: one for each direction of a connection."""

from __future__ import annotations

INITIAL_SIZE_BYTES = 2048  # what a ring starts with, and goes back to once it is empty


class RingBuffer:
    """Bytes in order, never more than `capacity`. Space is handed out and data read without copies.

    The space is taken as the data asks for it and given back once the ring is empty. Guards against
    connections by hundreds that say little: whole rings for all of them would use up the memory.
    """

    __slots__ = ("_allocated", "_buffer", "_head", "_size", "_view", "capacity")

    def __init__(self, capacity: int) -> None:
        """Begin empty; `capacity` in bytes."""
        self.capacity = capacity
        self._size = 0
        self._reallocate(0)

    def _reallocate(self, size: int) -> None:
        """Go on in a space of that length, with the data at its start."""
        buffer = bytearray(size)
        if self._size:
            buffer[: self._size] = self.copy(self._size)
        self._buffer = buffer
        self._view = memoryview(buffer)
        self._head = 0
        self._allocated = size

    def _grow(self, need: int) -> None:
        size = max(self._allocated, min(INITIAL_SIZE_BYTES, self.capacity))
        while size < need:
            size = min(2 * size, self.capacity)
        if size != self._allocated:
            self._reallocate(size)

    def __len__(self) -> int:
        """Return the bytes that are held."""
        return self._size

    def free_space(self) -> memoryview:
        """Return the free space that follows the data in one piece; empty only where the ring is full."""
        if self._size == self._allocated and self._allocated < self.capacity:
            self._grow(self._size + 1)
        if not self._size:
            self._head = 0
        tail = self._head + self._size
        if tail >= self._allocated:
            return self._view[tail - self._allocated : self._head]
        return self._view[tail:]

    def commit(self, count: int) -> None:
        """Take so many bytes of `free_space` for data: they have been written there."""
        self._size += count

    def put(self, data: bytes) -> bool:
        """Append all of the data, or nothing and False where it does not fit."""
        if len(data) > self.capacity - self._size:
            return False
        self._grow(self._size + len(data))
        at = 0
        while at < len(data):
            space = self.free_space()
            part = data[at : at + len(space)]
            space[: len(part)] = part
            self._size += len(part)
            at += len(part)
        return True

    def front(self) -> memoryview:
        """Return the first data in one piece; what has wrapped round follows once this is dropped."""
        return self._view[self._head : min(self._head + self._size, self._allocated)]

    def find(self, byte: bytes, start: int = 0) -> int:
        """Return how many bytes stand before the one-byte mark, from `start` on; -1 where there is none."""
        wrap = self._allocated - self._head
        if start < wrap:
            at = self._buffer.find(byte, self._head + start, min(self._head + self._size, self._allocated))
            if at >= 0:
                return at - self._head
        if self._size > wrap:
            at = self._buffer.find(byte, max(0, start - wrap), self._size - wrap)
            if at >= 0:
                return at + wrap
        return -1

    def copy(self, count: int, start: int = 0) -> bytes:
        """Return so many bytes from `start` on, which stay in the ring."""
        first = self._head + start
        if first >= self._allocated:
            first -= self._allocated
        last = first + count
        if last <= self._allocated:
            return bytes(self._view[first:last])
        return bytes(self._view[first:]) + bytes(self._view[: last - self._allocated])

    def drop(self, count: int) -> None:
        """Remove the first bytes; a ring that is empty gives its space back."""
        self._head += count
        if self._head >= self._allocated:
            self._head -= self._allocated
        self._size -= count
        if not self._size and self._allocated > INITIAL_SIZE_BYTES:
            self._reallocate(0)

    def take(self, count: int) -> bytes:
        """Remove and return the first bytes."""
        data = self.copy(count)
        self.drop(count)
        return data
