"""A thread pool for cheroot that grows with demand."""

import threading

from cheroot.workers.threadpool import ThreadPool


class GrowingPool(ThreadPool):
    """Starts a thread when a connection waits and no thread is idle.

    cheroot's pool has a fixed number of threads. Each running request
    occupies one, so slow downloads would starve short requests.
    """

    def __init__(
        self, server: object, min_threads: int, max_threads: int
    ) -> None:
        """Create the pool.

        :param server: cheroot server.
        :param min_threads: threads that are started with the pool.
        :param max_threads: most threads; further connections wait for one.
        """
        super().__init__(server, min=min_threads, max=max_threads)
        # Idle threads are counted here, because cheroot's own count lags
        # behind the queue, and a connection could then wait forever.
        self._count_lock = threading.Lock()
        self._idle_threads = 0
        self._waiting_connections = 0
        self.get = self._take_connection

    @property
    def has_spare_threads(self) -> bool:
        """Whether a thread may wait for the next request of a connection.

        Half of the threads are reserved for running requests.
        """
        return len(self._threads) - self._idle_threads < self.max // 2

    def put(self, connection: object) -> None:
        """Queue a connection that has a request to read.

        :param connection: cheroot connection.
        """
        with self._count_lock:
            self._waiting_connections += 1
            missing_threads = self._waiting_connections - self._idle_threads
        super().put(connection)
        if missing_threads > 0 and len(self._threads) < self.max:
            self._threads.append(self._spawn_worker())

    def _take_connection(self) -> object:
        with self._count_lock:
            self._idle_threads += 1
        connection = self._queue.get()
        with self._count_lock:
            self._idle_threads -= 1
            self._waiting_connections -= 1
        return connection
