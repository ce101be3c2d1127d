"""A thread pool for cheroot that grows with demand."""

import threading

from cheroot.workers.threadpool import ThreadPool


class GrowingPool(ThreadPool):
    """Starts a thread when a connection waits and no thread is free.

    cheroot keeps a fixed number of threads, and each running request holds
    one, so that slow downloads would starve short requests.
    """

    def __init__(self, server: object, least: int, most: int) -> None:
        """Prepare the pool.

        :param server: cheroot server.
        :param least: threads started at once.
        :param most: threads at most; then connections wait.
        """
        super().__init__(server, min=least, max=most)
        # Counted here, because cheroot's own count of idle threads lags
        # behind the queue, and a connection could wait for ever.
        self._balance = threading.Lock()
        self._free = 0
        self._waiting = 0
        self.get = self._take

    @property
    def has_spare_threads(self) -> bool:
        """Whether a thread may wait for the next request of a connection.

        The second half of the threads is kept for running requests.
        """
        return len(self._threads) - self._free < self.max // 2

    def put(self, connection: object) -> None:
        """Queue a connection that has a request to read.

        :param connection: cheroot connection.
        """
        with self._balance:
            self._waiting += 1
            short = self._waiting - self._free
        super().put(connection)
        if short > 0 and len(self._threads) < self.max:
            self._threads.append(self._spawn_worker())

    def _take(self) -> object:
        with self._balance:
            self._free += 1
        connection = self._queue.get()
        with self._balance:
            self._free -= 1
            self._waiting -= 1
        return connection
