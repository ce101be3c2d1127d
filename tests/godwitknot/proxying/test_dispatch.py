import socket
import threading

import pytest
import urllib3

from standins.faults import Faults
from standins.faultylink import FaultyLink
from tests.dataplane import exchange_bytes, free_address, running_plane


@pytest.fixture
def http():
    return urllib3.PoolManager(retries=False)


def get(http, plane, path='/x', **options):
    return http.request('GET', f'{plane.url}{path}', **options)


def test_refused_connection_is_tried_elsewhere(http):
    with running_plane() as plane:
        plane.host._http[0].stop()
        for _ in range(4):
            assert get(http, plane).status == 200


def test_not_run_only_if_no_attempt_may_have_run(http):
    """Guards against reporting "not run" after a connection was lost."""
    with running_plane(names=('s1',)) as plane:
        response = get(http, plane, '/die')
        assert response.status == 502
        assert response.json()['outcome'] == 'may-have-run'


def test_server_error_is_retried_for_repeatable_work(http):
    with running_plane() as plane:
        plane.fake('s1').faults = Faults(error_share=1)
        assert {get(http, plane).status for _ in range(6)} == {200}


def test_shed_request_is_not_run_and_goes_elsewhere(http):
    with running_plane() as plane:
        plane.fake('s1').faults = Faults(shed=True)
        assert {get(http, plane).status for _ in range(4)} == {200}
        assert not plane.fake('s1').executions
        plane.fake('s2').faults = Faults(shed=True)
        response = get(http, plane)
        assert response.status == 503
        assert response.json()['outcome'] == 'not-run'


def test_answer_of_another_request_reaches_nobody(http):
    """Guards against mixed-up responses on a reused connection."""
    with running_plane() as plane:
        plane.fake('s1').faults = Faults(wrong_id_share=1)
        for _ in range(6):
            assert get(http, plane).json()['server'] == 's2'


def test_cut_answer_is_never_a_whole_one(http):
    with running_plane(names=('s1',)) as plane:
        plane.fake('s1').faults = Faults(cut_share=1)
        with pytest.raises(urllib3.exceptions.HTTPError):
            get(http, plane, '/blob/300000')


def test_cut_answer_without_length_is_an_error_for_http10():
    """Guards against a truncated body that looks complete over HTTP/1.0.

    Without Content-Length the end of the connection ends the body.
    """
    with running_plane(names=('s1',)) as plane:
        plane.fake('s1').faults = Faults(cut_share=1)
        response = exchange_bytes(
            plane.ingress_address, b'GET /blob/300000 HTTP/1.0\r\n\r\n'
        )
        head, _, body = response.partition(b'\r\n\r\n')
        assert b'Content-Length: 300000' in head
        assert len(body) < 300000


def test_silent_connection_costs_no_request(http):
    """Guards against pooled connections that a middlebox silently dropped."""
    links = []

    def start_cutter(target):
        link = FaultyLink(free_address(), target)
        link.start()
        links.append(link)
        return link.address

    with running_plane(names=('s1',), via=start_cutter) as plane:
        assert get(http, plane).status == 200
        links[0].blackhole_open_connections()
        statuses = []

        def send_request():
            statuses.append(get(http, plane).status)

        threads = [threading.Thread(target=send_request) for _ in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert statuses == [200, 200, 200]
        assert not any(result.failed for result in plane.results)


def test_caller_that_leaves_cancels_its_request(http):
    with running_plane(names=('s1',)) as plane:
        plane.fake('s1').faults = Faults(hang=True)
        sock = socket.create_connection(plane.ingress_address.pair)
        sock.sendall(b'GET /x HTTP/1.1\r\nHost: a\r\n\r\n')
        while not plane.upstreams['s1'].running():
            threading.Event().wait(0.01)
        sock.close()
        while plane.upstreams['s1'].running():
            threading.Event().wait(0.01)
        plane.fake('s1').faults = Faults()


def test_slow_downloads_do_not_starve_short_requests(http):
    """Guards against slow downloads that occupy every worker thread."""
    with running_plane(names=('s1',)) as plane:
        plane.start_housekeeping()
        readers = []
        for _ in range(100):
            sock = socket.create_connection(plane.ingress_address.pair)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.sendall(b'GET /blob/20000000 HTTP/1.1\r\nHost: a\r\n\r\n')
            assert sock.recv(12) == b'HTTP/1.1 200'
            readers.append(sock)
        assert get(http, plane, timeout=30).status == 200
        for sock in readers:
            sock.close()
