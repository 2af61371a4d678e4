"""Reason phrases of HTTP status lines; an empty phrase would be valid too (RFC 9112 section 4)."""

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
    501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
