package logger

// Events of operators' questions and commands, 6000 to 6999.
var operatorEvents []Event
