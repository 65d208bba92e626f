/*
 * Claims on one key: two entries, two holders of the key's range, the store's
 * table and lease, one kind of target. Any process may pause at any point; any
 * message may be lost or come late.
 *
 * A pause between a step and the sending of its message is the same as a late
 * message, so that a holder decides and sends in one step.
 *
 * Clocks are modelled by what they promise: a lease is over for its holder
 * (valid) before the store ends it (alive), and a permission to run is over at
 * its entry (fenced) no later than at its holder, and before the lease is.
 *
 * Promises: the key's work starts at most once; a call that was refused as not
 * run never starts; once a caller was told Unknown, nothing starts any more.
 *
 * Each NO_FENCE_x takes one fence out. MOVES adds hand-overs from holder 1 to
 * holder 2; RETRY adds a second call through entry 1; RETURN lets holder 1 get
 * a new lease after a lapse.
 */

#ifdef NO_FENCE_LEASE
#define LEASE(x) (true)
#else
#define LEASE(x) (x)
#endif
#ifdef NO_FENCE_EPOCH
#define EPOCH(x) (true)
#else
#define EPOCH(x) (x)
#endif
#ifdef NO_FENCE_HORIZON
#define HORIZON(x) (false)
#else
#define HORIZON(x) (x)
#endif
#ifdef NO_FENCE_STORE
#define STORE(x) (true)
#else
#define STORE(x) (x)
#endif
#ifdef NO_FENCE_ATTEMPT
#define ATTEMPT(x) (true)
#else
#define ATTEMPT(x) (x)
#endif
#ifdef NO_FENCE_CALL
#define CALL(x) (true)
#else
#define CALL(x) (x)
#endif
#ifdef NO_FENCE_LATE
#define LATE(x) (x)
#else
#define LATE(x) (false)
#endif
#ifdef NO_FENCE_ONCE
#define ONCE(x) (true)
#else
#define ONCE(x) (x)
#endif

#ifndef SENDS
#define SENDS 2 /* how often an entry asks for one call */
#endif
#ifndef TRANSFERS
#define TRANSFERS 2 /* how often holder 1 tries to hand over */
#endif
#define CALLS 4 /* Calls 1 and 3 come through entry 1, call 2 through entry 2. */

mtype = { Nothing, Free, Running, Done, Unknown };      /* what a holder knows */
mtype = { Run, Busy, WasDone, MaySee, Refused };        /* a holder's answers */
mtype = { EndDone, EndNotRun, EndUnknown };             /* outcomes of a call */

/* The store. */
byte owner = 1;
byte version = 1;
byte named = 0;           /* the transfer that the table names */
bool alive = true;        /* the lease of holder 1, as the store has it */
bool casSent = false;     /* holder 1's write of the table is on its way */
byte casBase = 0;         /* the version that it replaces */
byte casTransfer = 0;

/* The holders, numbered 1 and 2. Holder 2's lease outlasts the run. */
bool valid = true;        /* holder 1's lease by its own clock */
bool holds[3];
bool frozen = false;      /* holder 1 is handing the range over */
mtype record[3] = Nothing;
byte recordCall[3];
bool maySeen = false;     /* holder 2 came without records */
mtype offered = Nothing;  /* the records that holder 2 was offered last */
byte offeredCall = 0;
byte transfers = 0;

/* The calls. */
bool fenced[CALLS];
bool granted[CALLS];
bool started[CALLS];
bool saidNotRun[CALLS];
bool saidUnknown = false;
byte runs = 0;
bool mintedLate = false;  /* the key was made after the takeover, by a clock margin */
bool takenOver = false;

chan begins[3] = [1] of { byte };
chan answers[3] = [1] of { byte, mtype };
chan ends[3] = [1] of { byte, mtype };

#define entryOf(c) (2 - (c % 2))

inline post(channel, c, what) {
	if
	:: nfull(channel) -> channel ! c, what
	:: skip /* lost */
	fi
}

inline sayNotRun(c) {
	saidNotRun[c] = true;
	assert(!started[c])
}

inline start(c) {
	started[c] = true;
	runs++;
	assert(runs <= 1);
	assert(!saidNotRun[c]);
	assert(!saidUnknown)
}

/* The lease ends by both clocks, its holder's first. */
proctype Clock() {
#ifdef RETURN
	byte regained = 0;
#endif
	do
	:: atomic { valid ->
		valid = false;
		/* A permission ends before the lease it was given under. */
		fenced[1] = fenced[1] || (granted[1] && owner == 1);
		fenced[2] = fenced[2] || (granted[2] && owner == 1);
		fenced[3] = fenced[3] || (granted[3] && owner == 1) }
	:: atomic { !valid && alive -> alive = false }
#ifdef RETURN
	:: atomic { !alive && regained < 1 && EPOCH(owner == 1) ->
		/* Holder 1 has a new lease and writes it into the table. */
		regained++; alive = true; valid = true;
		if
		:: owner == 1 -> version++; named = 0
		:: else
		fi }
#endif
	:: timeout -> break
	od
}

/* The store takes a late write only in place of the version that it names. */
proctype Store() {
	do
	:: atomic { casSent && casBase == version -> casSent = false; casBase = 0; owner = 2; version++; named = casTransfer }
	:: atomic { casSent && casBase != version -> casSent = false; casBase = 0 }
	:: timeout -> break
	od
}

inline decide(h, c, word) {
	if
	:: !holds[h] || !LEASE(h == 2 || valid) -> word = Refused
	:: else ->
		if
		:: record[h] == Running && (fenced[recordCall[h]] || recordCall[h] != c) ->
			/* The fence of the call that runs has passed. */
			fenced[recordCall[h]] = true; record[h] = Unknown
		:: !(record[h] == Running && fenced[recordCall[h]]) -> skip
		fi;
		if
		:: record[h] == Nothing && HORIZON(h == 2 && maySeen && !mintedLate) -> word = MaySee
		:: record[h] == Free && recordCall[h] == c -> word = Refused
		:: record[h] == Running && recordCall[h] == c -> word = Run
		:: record[h] == Running && recordCall[h] != c -> word = Busy
		:: record[h] == Done -> word = WasDone
		:: record[h] == Unknown -> word = MaySee
		:: else -> record[h] = Running; recordCall[h] = c; granted[c] = true; word = Run
		fi
	fi
}

inline end(h, c, what) {
	if
	:: record[h] == Running && fenced[recordCall[h]] -> record[h] = Unknown
	:: else
	fi;
	if
	:: what == EndNotRun && CALL(recordCall[h] == c) && (record[h] == Running || LATE(record[h] == Unknown)) -> record[h] = Free
	:: what == EndDone && recordCall[h] == c && (record[h] == Running || record[h] == Unknown) -> record[h] = Done
	:: what == EndDone && record[h] == Nothing && holds[h] -> record[h] = Done; recordCall[h] = c
	:: what == EndUnknown && record[h] == Running && recordCall[h] == c -> record[h] = Unknown
	:: else
	fi
}

proctype Holder(byte h) {
	byte c;
	mtype word, what;
	do
	:: atomic { (h == 2 || !frozen) && nempty(begins[h]) ->
		begins[h] ? c;
		decide(h, c, word);
		if
		:: word != Refused -> post(answers[entryOf(c)], c, word)
		:: else /* The same as a lost answer. */
		fi;
		c = 0; word = 0 }
	:: atomic { (h == 2 || !frozen) && nempty(ends[h]) -> ends[h] ? c, what; end(h, c, what); c = 0; what = 0 }
	:: timeout -> break
	od
}

/* Holder 1 hands the range over to holder 2. */
proctype HandOver() {
	do
	:: atomic { valid && owner == 1 && holds[1] && !frozen && transfers < TRANSFERS ->
#ifndef NO_FENCE_FREEZE
		frozen = true;
#endif
		transfers++; offered = record[1]; offeredCall = recordCall[1] };
		if
		:: atomic { owner == 1 && valid -> casSent = true; casBase = version; casTransfer = transfers };
			if
			:: atomic { !casSent && owner == 2 -> holds[1] = false; break }
			:: atomic { !casSent && owner == 1 -> frozen = false }
			:: /* The answer is lost: holder 1 writes the table itself, so that the late write fails. */
				if
				:: atomic { owner == 1 && valid ->
#ifndef NO_FENCE_DOUBT
					version++;
#endif
					frozen = false }
				:: atomic { owner == 2 -> holds[1] = false; break }
				fi
			fi
		:: frozen = false /* Holder 2 did not accept. */
		fi
	:: timeout -> break
	od
}

/* Holder 2 takes the range over, or gets it handed over. */
proctype Taker() {
	if
	:: atomic { owner == 1 && STORE(!alive) ->
		owner = 2; version++; named = 0; takenOver = true; holds[2] = true;
#ifdef NO_FENCE_TRANSFER
		record[2] = offered; recordCall[2] = offeredCall; maySeen = (transfers == 0)
#else
		maySeen = true
#endif
		}
	:: atomic { owner == 2 && named > 0 ->
		holds[2] = true;
		if
		:: named == transfers -> record[2] = offered; recordCall[2] = offeredCall
		:: else -> maySeen = true; takenOver = true
		fi }
	:: timeout
	fi
}

inline attempt(c) {
	if
	:: atomic { ATTEMPT(!fenced[c]) -> start(c) };
		if
		:: atomic { post(ends[h], c, EndDone) }                       /* answered */
		:: atomic { saidUnknown = true; post(ends[h], c, EndUnknown) } /* the target's answer is lost */
		fi
	:: atomic { sayNotRun(c); post(ends[h], c, EndNotRun) } /* nothing was sent, or the target refused */
	fi
}

inline callOnce(c) {
	sent = 0;
	decided = false;
	do
	:: !decided && sent < SENDS ->
		atomic {
			sent++;
			if
			:: h = 1
			:: h = 2
			fi;
			if
			:: nfull(begins[h]) -> begins[h] ! c
			:: skip
			fi }
	:: atomic { answers[me] ?? [eval(c), Run] -> answers[me] ?? eval(c), Run };
		if
		:: ONCE(!decided) -> decided = true; attempt(c)
		:: else
		fi
	:: atomic { !decided && answers[me] ?? [eval(c), WasDone] -> answers[me] ?? eval(c), WasDone; decided = true }
	:: atomic { !decided && answers[me] ?? [eval(c), MaySee] -> answers[me] ?? eval(c), MaySee; decided = true; saidUnknown = true }
	:: atomic { !decided && answers[me] ?? [eval(c), Busy] -> answers[me] ?? eval(c), Busy; decided = true }
	:: atomic { !decided && sent > 0 -> /* given up */ decided = true; sayNotRun(c); post(ends[h], c, EndNotRun) }
	:: atomic { decided && !(answers[me] ?? [eval(c), Run]) -> h = 1; sent = 0; break }
	od
}

proctype Entry(byte me) {
	byte h = 1, sent = 0;
	bool decided = false;
	!mintedLate || takenOver;
	callOnce(me);
#ifdef RETRY
	if
	:: me == 1 -> callOnce(3)
	:: else
	fi
#endif
}

init {
	atomic {
		holds[1] = true;
		if
		:: mintedLate = true
		:: mintedLate = false
		fi;
		run Clock(); run Store(); run Holder(1); run Holder(2);
#ifdef MOVES
		run HandOver();
#endif
		run Taker(); run Entry(1); run Entry(2)
	}
}
