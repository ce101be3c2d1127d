"""Exchange of request statistics with sibling servers on other nodes."""

import random
import threading

from godwitknot.control.messages import Summary
from godwitknot.control.records import NodeRecord
from godwitknot.control.transport import Endpoint
from godwitknot.errors import MessageTooLargeError
from godwitknot.health.siblings import (
    SiblingStatistics,
    compute_exchange_interval,
)
from godwitknot.membership.directory import Directory
from godwitknot.units import Address

_SIBLINGS_PER_ROUND = 3


class SummaryExchange:
    """A thread that sends summaries to a few random siblings."""

    def __init__(
        self,
        directory: Directory,
        endpoint: Endpoint,
        siblings: SiblingStatistics,
    ) -> None:
        """Subscribe to summaries of other nodes."""
        self._directory = directory
        self._endpoint = endpoint
        self._siblings = siblings
        self._random = random.Random()
        self._stopped = threading.Event()
        endpoint.subscribe(Summary, self._merge)

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run, name='summaries', daemon=True
        ).start()

    def stop(self) -> None:
        """Signal the thread to stop."""
        self._stopped.set()

    def send_round(self) -> None:
        """Send a summary of each service of this node to random siblings."""
        services = {
            server.service for server in self._directory.local_record.servers
        }
        for service in services:
            summary = self._siblings.compose(service)
            if not summary.servers:
                continue
            for node in self._draw_nodes(service):
                self._send(node.peer, summary)

    def _send(self, address: Address, summary: Summary) -> None:
        """Send a summary, split if long names make it too large."""
        try:
            self._endpoint.send(address, summary)
        except MessageTooLargeError:
            half = len(summary.servers) // 2
            # One entry fits, since names have at most 63 characters.
            if half:
                self._send(address, Summary(summary.servers[:half]))
                self._send(address, Summary(summary.servers[half:]))

    def _draw_nodes(self, service: str) -> list[NodeRecord]:
        local_id = self._directory.local_record.node_id
        nodes = {
            located.node.node_id: located.node
            for located in self._directory.servers(service)
            if located.reachable and located.node.node_id != local_id
        }
        count = min(len(nodes), _SIBLINGS_PER_ROUND)
        return self._random.sample(list(nodes.values()), count)

    def _run(self) -> None:
        servers = len(self._directory.local_record.servers)
        while not self._stopped.wait(compute_exchange_interval(servers)):
            self.send_round()

    def _merge(self, sender: str, address: Address, summary: Summary) -> None:
        self._siblings.merge(summary)
