"""The tree of exceptions that this package raises."""

from collections.abc import Sequence

import attrs


class GodwitknotError(Exception):
    """Base class of all errors that this package raises."""


class UserError(GodwitknotError):
    """An error that the command line shows without a traceback."""

    exit_code = 1


@attrs.frozen
class Problem:
    """One error in an INI file.

    :param section: section title, empty if the error concerns the file.
    :param key: key in the section, empty if the error concerns the section.
    :param expected: description of a valid value.
    :param got: the value found, empty if it is missing.
    """

    section: str
    key: str
    expected: str
    got: str = ''

    def __str__(self) -> str:
        """Format as ``[section] key: expected ..., got ...``."""
        scope = f'[{self.section}]' if self.section else 'file'
        location = f'{scope} {self.key}'.rstrip()
        found = f', got {self.got!r}' if self.got else ''
        return f'{location}: expected {self.expected}{found}'


class InvalidFileError(UserError):
    """An INI file has errors; ``problems`` lists all of them."""

    exit_code = 3

    def __init__(self, problems: list[Problem]) -> None:
        """Build the message from all problems.

        :param problems: the problems, in file order.
        """
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems


class SettingsError(InvalidFileError):
    """The node settings are invalid."""


class DeclarationError(InvalidFileError):
    """The declaration of services and classes is invalid."""


class ConfigurationConflictError(UserError):
    """The configuration was changed since the version that was edited.

    ``version`` is the one in force; ``changes`` has one line for each key
    that differs from the version that the operator expected.
    """

    exit_code = 4

    def __init__(
        self,
        message: str,
        version: int = 0,
        changes: Sequence[str] = (),
    ) -> None:
        """Build the message from the summary and the differences.

        :param message: one sentence that names the author and version.
        :param version: version in force.
        :param changes: differences, one line each.
        """
        super().__init__('\n'.join([message, *changes]))
        self.message = message
        self.version = version
        self.changes = tuple(changes)


class OperationRefusedError(UserError):
    """The fleet refused an operator's request; the message says why."""

    exit_code = 5


class UnknownRequestError(UserError):
    """The given logs contain no line about the request."""


class MissingRequestError(UserError):
    """Logs were given without the id of a request."""

    exit_code = 2


class UnreadableLogError(UserError):
    """A log file cannot be read."""


class OperationTimeoutError(UserError):
    """An operation was accepted but not confirmed in time."""

    exit_code = 6


class StoreError(GodwitknotError):
    """The platform's table service or object store failed."""


class StoreDownError(StoreError):
    """The store did not accept the request; nothing was written.

    ``received_bytes`` is the size of a response that did not arrive whole.
    """

    def __init__(self, message: str = '', received_bytes: int = 0) -> None:
        """Create the error.

        :param message: description of the failure.
        """
        super().__init__(message)
        self.received_bytes = received_bytes


class LostAnswerError(StoreError):
    """The response to a write was lost; the write may have taken effect."""


class StoreRestoredError(StoreError):
    """The store was restored from a copy; older responses are invalid."""


class ConflictError(StoreError):
    """A conditional write found another version than expected."""


class MissingObjectError(StoreError):
    """The object store has no object with this name."""


class CorruptObjectError(StoreError):
    """The content of an object does not match its digest."""


class ProtocolError(GodwitknotError):
    """A message between nodes, or an HTTP message, is malformed."""


class VerificationError(ProtocolError):
    """The MAC of a control message or relay request is missing or wrong."""


class MessageTooLargeError(ProtocolError):
    """A control message exceeds the maximum datagram size."""


class TicketError(GodwitknotError):
    """An issued idempotency key is malformed, forged or expired."""


class SupersededError(GodwitknotError):
    """Another process runs with this node id and a later incarnation."""


class PlatformFormatError(GodwitknotError):
    """A message, row or settings file of the platform cannot be read."""


class ConnectionFailedError(GodwitknotError):
    """A connection could not be opened; nothing was sent."""


class ConnectionCutError(GodwitknotError):
    """A connection was closed before an exchange was complete."""


class BodyLostError(GodwitknotError):
    """The rest of a request body does not arrive, for want of its sender."""


class BodyTooLargeError(BodyLostError):
    """A request body of unstated length exceeds the limit."""


class HistoryLostError(StoreError):
    """The store no longer has the history that a feed needs."""


class RowChangedError(ConflictError):
    """A conditional write found another version of the row.

    ``version`` is the one found, 0 if there is no row.
    """

    def __init__(self, version: int) -> None:
        """Build the message from the version that was found."""
        super().__init__(f'row has version {version}')
        self.version = version
