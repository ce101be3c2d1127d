"""Names of the platform's protocol: header fields, paths, calls and keys."""

from godwitknot.mesh.model import RouteKind

ATTEMPT_ID = 'Godwitknot-Attempt-Id'
# Remaining milliseconds until the caller's deadline, not a point in time.
DEADLINE = 'Godwitknot-Deadline-Ms'
# Proves that the response was written by a server.
SERVER_SEAL = 'Godwitknot-Server-Seal'
EXPECT_INSTANCE = 'Godwitknot-Expect-Instance'
SERVER_LOAD = 'Godwitknot-Server-Load'
NOT_EXECUTED = 'Godwitknot-Not-Executed'
CALLER_SERVICE = 'Godwitknot-Caller-Service'
SERVER_ID = 'Godwitknot-Instance-Id'
# Number of the store's restores from a copy; part of all of its responses.
STORE_EPOCH = 'Store-Era'

READY_PATH = '/api/ready'
RPC_PATH = '/api/rpc'
HEARTBEAT_CALL = 'instances.heartbeat'
DEREGISTER_CALL = 'instances.deregister'

SETTINGS_VARIABLE = 'GODWITKNOT_NODE_FILE'

OPERATOR_TABLE = 'op'
CONFIGURATION_KEY = 'config'

KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.AT_MOST_ONCE,
    'download': RouteKind.DOWNLOAD,
}
