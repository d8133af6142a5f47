"""The reasons for which connections are closed; the values are names of counters and words of the log."""

from enum import Enum


class CloseReason(Enum):
    """The reason for which a client's connection is closed."""

    SILENT = "silent"  # The client has sent no request for too long.
    PARTIAL_COMMAND = "half"  # The rest of a partial command has not come for too long.
    IDLE = "idle"  # The client has sent no further request for too long.
    CLOSE_TIMEOUT = "linger"  # The client has not closed its side in time after the proxy's.
    NOT_READING = "not_reading"  # The client has read nothing for too long, and no more can be sent.
    MAKE_ROOM = "room"  # The client is idle, and the descriptor is needed for another connection.
    DRAIN = "drain"  # The process is drained, or stops.
    NO_MEMORY = "no_memory"  # There is no memory for the rest of the client's command.
    MALFORMED = "malformed"  # The bytes can't be divided into commands, or too many commands were malformed.
    BROKEN_VALUE = "broken_value"  # The long value that was being sent ended before its declared length.
    NOT_SENT = "not_sent"  # The kernel refused a response, and so reports that the connection is gone.
    BY_CLIENT = "by_client"  # The client closed or reset the connection, with no open request.
    BY_CLIENT_MID_REQUEST = "left"  # The client closed or reset the connection, with an open request.


class NodeCloseReason(Enum):
    """The reason for which a connection to a cache node or the origin is closed."""

    RETIRED = "retired"  # The connection has been idle too long, or its descriptor is needed.
    NODE_LEFT = "node_left"  # The node drains, is off the endpoint list, or has another address.
    ATTEMPT_ABANDONED = "given_up"  # An attempt on the connection was cancelled, or timed out.
    MALFORMED = "malformed"  # An answer is malformed, or ended before it was complete.
    SURPLUS_DATA = "surplus"  # The node sent more bytes than the answer has.
    LAST_ANSWER = "last_answer"  # The node said that it closes, or an abandoned attempt was queued behind.
    UNUSABLE = "unusable"  # The node had closed the idle connection, or sent data with no attempt on it.
    TOO_LATE_TO_WRITE = "too_late"  # It has become too late to write the last byte of a command.
    NO_MEMORY = "no_memory"  # There is no memory for the value that is arriving.
    VALUE_DROPPED = "value_dropped"  # A long value arrives that no client waits for any more.
    BY_NODE = "by_node"  # The node closed or reset the connection, with no attempt on it.
    BY_NODE_MID_ATTEMPT = "reset"  # The node closed or reset the connection, with attempts on it.
