package logger

// Events of claims, 5000 to 5999.
var claimEvents []Event
