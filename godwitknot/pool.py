"""A thread pool for cheroot that grows with demand."""

from cheroot.workers.threadpool import ThreadPool

_GROWTH = 8


class GrowingPool(ThreadPool):
    """Adds threads when a connection waits and no thread is idle.

    cheroot keeps a fixed number of threads, and each running request holds
    one, so that slow downloads would starve short requests.
    """

    def put(self, connection: object) -> None:
        """Queue a connection that has a request to read.

        :param connection: cheroot connection.
        """
        super().put(connection)
        if self.qsize and not self.idle:
            self.grow(_GROWTH)
