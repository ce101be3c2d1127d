"""Header names, paths and words of the platform's protocol."""

from godwitknot.mesh.model import RouteKind

ATTEMPT_ID = 'Godwitknot-Attempt-Id'
# Milliseconds that the caller still waits, not a point in time.
TIME_LEFT = 'Godwitknot-Deadline-Ms'
# Proof that a server wrote the response.
SEAL = 'Godwitknot-Server-Seal'
EXPECT_INSTANCE = 'Godwitknot-Expect-Instance'
SERVER_LOAD = 'Godwitknot-Server-Load'
NOT_EXECUTED = 'Godwitknot-Not-Executed'
CALLER_SERVICE = 'Godwitknot-Caller-Service'
SERVER_ID = 'Godwitknot-Instance-Id'

READY_PATH = '/api/ready'
RPC_PATH = '/api/rpc'
HEARTBEAT_CALL = 'instances.heartbeat'
LEAVE_CALL = 'instances.deregister'

SETTINGS_VARIABLE = 'GODWITKNOT_NODE_FILE'

OPERATOR_TABLE = 'op'
CONFIGURATION_KEY = 'config'

KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.AT_MOST_ONCE,
    'download': RouteKind.DOWNLOAD,
}
