package logger

// Events of membership, store and configuration, 4000 to 4999.
var membershipEvents []Event
