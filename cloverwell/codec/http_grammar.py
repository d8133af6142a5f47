"""The rules of RFC 9110 and RFC 9112 that heads, chunk sizes and trailers have in common, as expressions."""

import re

CRLF = b"\r\n"
CRLF_BYTES = len(CRLF)
OPTIONAL_WHITESPACE = rb"[ \t]*"  # OWS and BWS; RFC 9110, 5.6.3
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"  # RFC 9110, 5.6.2
QUOTED_STRING = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'  # RFC 9110, 5.6.4

# A field's name and value (RFC 9112, 5). White space in front of the colon is dropped, since section 5.1 has
# a proxy remove it from responses. Control characters but NUL, CR and LF are retained (RFC 9110, 5.5).
FIELD_LINE = re.compile(rb"(%s)[ \t]*:([^\x00\r\n]*)" % TOKEN)
