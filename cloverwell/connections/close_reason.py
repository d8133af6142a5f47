"""Why connections are closed; the values name counters and stand in log lines."""

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection is closed."""

    SILENT = "silent"  # It has never sent a request.
    PARTIAL_COMMAND = "half"  # It has sent half a command for too long.
    IDLE = "idle"  # It has been idle too long.
    CLOSE_TIMEOUT = "linger"  # It has not closed its side after ours.
    NOT_READING = "not_reading"  # It has read nothing for too long, and the connection takes no more.
    MAKE_ROOM = "room"  # It is idle, and another client needs the descriptor.
    DRAIN = "drain"  # The process is drained, or stops.
    MALFORMED = "malformed"  # What it sent can't be cut into commands, or too much of it was malformed.
    BROKEN_VALUE = "broken_value"  # A long value ended before its length.
    NOT_SENT = "not_sent"  # A piece of a long value could not be sent.
    BY_CLIENT = "by_client"  # The client has closed or reset it, with no open request.
    BY_CLIENT_MID_REQUEST = "left"  # The same with an open request.


class NodeCloseReason(Enum):
    """Why a connection to a cache node or the origin is closed."""

    RETIRED = "retired"  # It has been idle too long, or its descriptor is needed.
    NODE_LEFT = "node_left"  # The node drains, is gone, or has another address.
    ATTEMPT_ABANDONED = "given_up"  # An attempt on it was cancelled, or timed out.
    MALFORMED = "malformed"  # An answer can't be read, or stopped short.
    SURPLUS_DATA = "surplus"  # More came than the answer.
    LAST_ANSWER = "last_answer"  # The node has said that it closes, or an attempt behind was given up.
    UNUSABLE = "unusable"  # The node had closed it, or sent data without an attempt.
    TOO_LATE_TO_WRITE = "too_late"  # The last byte of a command may not be written any more.
    VALUE_DROPPED = "value_dropped"  # Nobody reads the long value that arrives.
    BY_NODE = "by_node"  # The node has closed or reset it, with no attempt on it.
    BY_NODE_MID_ATTEMPT = "reset"  # The same with attempts on it.
