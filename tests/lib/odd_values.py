"""Values that another writer may leave where papayagw reads JSON."""

import json

DEEP_ARRAY = b"[" * 200_000
DEEP_OBJECT = b'{"a":' * 200_000
NESTED_VALUE = b'{"endpoint":' + b"[" * 900 + b"]" * 900 + b"}"

ODD_DOCUMENTS = [
    b"",
    b"\xff\xfe",
    b"null",
    b"7",
    b"[]",
    b"{}",
    DEEP_ARRAY,
    DEEP_OBJECT,
    NESTED_VALUE,
    b"9" * 10_000,
    b"1e999",
]
"""Documents that lack every field, can't be read, or nest too deeply."""

ODD_NUMBERS = [
    b"1e999",
    b"-1e999",
    b"NaN",
    b"1" + b"0" * 40,
    b"9" * 10_000,
    b'"7"',
    b"true",
    b"null",
    b"[7]",
    b"{}",
]
"""Values, as JSON, of a field that must be a whole number of at most 64 bits."""

ODD_TEXTS = [
    b"7",
    b"null",
    b"{}",
    b'["a"]',
    b'""',
    b'"\\ud800"',
    b'"%s"' % (b"a" * 256),
]
"""Values, as JSON, of a field that must be a name of 1 to 255 bytes."""

ODD_ENDPOINTS = [
    b"7",
    b"null",
    b'["10.0.0.1", 7]',
    b'"10.0.0.1"',
    b'"10.0.0.1:0"',
    b'"10.0.0.1:65536"',
    b'"10.0.0.1:-7"',
    b'"10.0.0.1:%s"' % (b"9" * 10_000),
    b'"10.0.0.256:7"',
    b'"host:7"',
]
"""Values, as JSON, of a field that must be an IPv4 address and a port."""


def with_field(fields, name, value):
    """Return `fields` as JSON, with `value`, which is JSON, as the field `name`.

    A dot in `name` separates the name of an object or a position in an array from the
    name of its field.
    """
    placeholder = "the value that is replaced"
    document = json.loads(json.dumps(fields))
    *path, last = name.split(".")
    holder = document
    for step in path:
        holder = holder[int(step) if isinstance(holder, list) else step]
    holder[last] = placeholder
    return (
        json.dumps(document).encode().replace(json.dumps(placeholder).encode(), value)
    )
