"""A bounded ring buffer of bytes; a connection has one per direction."""

from __future__ import annotations

INITIAL_SIZE_BYTES = 2048  # first allocation; a larger one is freed once the ring is empty


class RingBuffer:
    """A first-in, first-out byte buffer of at most `capacity` bytes, written and read without copies.

    Memory is allocated as the data needs it and freed once the ring is empty: rings at full capacity for
    hundreds of nearly silent connections would exhaust the memory.
    """

    __slots__ = ("_allocated", "_buffer", "_head", "_size", "_view", "capacity")

    def __init__(self, capacity: int) -> None:
        """Create an empty ring of at most `capacity` bytes."""
        self.capacity = capacity
        self._size = 0
        self._reallocate(0)

    def _reallocate(self, size: int) -> None:
        """Allocate a new buffer of `size` bytes, with the data at its start."""
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
        """Return the number of bytes held."""
        return self._size

    def free_space(self) -> memoryview:
        """Return the contiguous free space after the data; it is empty only if the ring is full."""
        if self._size == self._allocated and self._allocated < self.capacity:
            self._grow(self._size + 1)
        if not self._size:
            self._head = 0
        tail = self._head + self._size
        if tail >= self._allocated:
            return self._view[tail - self._allocated : self._head]
        return self._view[tail:]

    def commit(self, count: int) -> None:
        """Count the first `count` bytes of `free_space`, which the caller has written, as data."""
        self._size += count

    def put(self, data: bytes) -> bool:
        """Append all of the data; return False, and append nothing, if it does not fit."""
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
        """Return the first contiguous part of the data; a wrapped rest follows once this part is dropped."""
        return self._view[self._head : min(self._head + self._size, self._allocated)]

    def find(self, byte: bytes, start: int = 0) -> int:
        """Return the offset of the first `byte` (a single one) at or after `start`; -1 if there is none."""
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
        """Return `count` bytes from offset `start`; they stay in the ring."""
        first = self._head + start
        if first >= self._allocated:
            first -= self._allocated
        last = first + count
        if last <= self._allocated:
            return bytes(self._view[first:last])
        return bytes(self._view[first:]) + bytes(self._view[: last - self._allocated])

    def drop(self, count: int) -> None:
        """Remove the first `count` bytes; a ring that becomes empty frees a large buffer."""
        self._head += count
        if self._head >= self._allocated:
            self._head -= self._allocated
        self._size -= count
        if not self._size and self._allocated > INITIAL_SIZE_BYTES:
            self._reallocate(0)

    def take(self, count: int) -> bytes:
        """Remove and return the first `count` bytes."""
        data = self.copy(count)
        self.drop(count)
        return data
