package logger

// Events of the entry path, 2000 to 2999.
var entryEvents []Event
