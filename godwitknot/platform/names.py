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
# The key of the caller's client account, and the account's name for servers.
ACCOUNT_KEY = 'Api-Key'
ACCOUNT_NAME = 'Godwitknot-Tenant'
# Number of the store's restores from a copy; part of all of its responses.
STORE_EPOCH = 'Store-Era'

READY_PATH = '/api/ready'
RPC_PATH = '/api/rpc'
HEARTBEAT_CALL = 'instances.heartbeat'
DEREGISTER_CALL = 'instances.deregister'

SETTINGS_VARIABLE = 'GODWITKNOT_NODE_FILE'

OPERATOR_TABLE = 'op'
CONFIGURATION_KEY = 'config'

# Fields of the configuration.
ACCOUNT_TABLE = 'tenants'
ACCOUNT_KEYS = 'api_keys'
# In place of the keys, in the copies that nodes keep and send to each other.
ACCOUNT_KEY_DIGESTS = 'api_key_digests'
ACCOUNT_RATE = 'rate_per_s'
ROUTE_WITHOUT_KEY = 'no_auth'

KINDS = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.AT_MOST_ONCE,
    'download': RouteKind.DOWNLOAD,
}
