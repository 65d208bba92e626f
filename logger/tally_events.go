package logger

// Events of owners and routing, 3000 to 3999.
var tallyEvents []Event
