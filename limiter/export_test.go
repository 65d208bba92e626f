package limiter

// Wire encodes a message, for the measurement of its size.
var Wire = newExchange
