/*
 * Ownership of one target slot while the floor plan changes.
 *
 * The model has three hosts of one failure domain. The store holds one floor plan for each epoch, and the plan
 * determines the owner of the slot. Hosts receive plans late, in any order and more than once. A host may die, and
 * its death can be proved. A request may occupy the slot for any length of time, even across a change of plan. Any
 * host may take no step for any length of time, which covers pauses, lost messages and store outages.
 *
 * Safety: at most one host uses the slot, and a new owner waits for every earlier one.
 *
 * Mutations that the check must refute: NO_ACK (a new owner uses the slot without waiting for acknowledgements),
 * NO_AWAITED (a new owner ignores holders of epochs before the previous one), NO_INFLIGHT (a host acknowledges
 * while its requests still run), GUESS_GONE (a silent host counts as dead), NO_FENCE (a plan is written without the
 * condition on the version), NO_SKIP_RULE (a host that skipped an epoch, in which it may have lost the slot,
 * acknowledges a later epoch while its request still runs).
 */

#define HOSTS 3
#define EPOCHS 4
#define BIT(host) (1 << (host))
#define HAS(mask, host) (((mask) & BIT(host)) != 0)
#define REPORTED_EPOCH(peer, host) reported_epoch[(peer) * HOSTS + (host)]
#ifdef NO_AWAITED
#define MAY_HOLD(x, y) (HAS(holders[plan_epoch[x]], y) || HAS(holders[plan_epoch[x] - 1], y))
#else
#define MAY_HOLD(x, y) \
	(HAS(holders[plan_epoch[x]], y) || HAS(holders[plan_epoch[x] - 1], y) || HAS(awaited[plan_epoch[x]], y))
#endif
#ifdef GUESS_GONE
#define COUNTS_AS_DEAD(x) true
#else
#define COUNTS_AS_DEAD(x) dead[x]
#endif
#ifdef NO_FENCE
#define MAY_WRITE(x) true
#else
#define MAY_WRITE(x) (plan_epoch[x] == latest_epoch)
#endif
#ifdef NO_INFLIGHT
#define MAY_ACKNOWLEDGE(x) true
#else
#ifdef NO_SKIP_RULE
#define MAY_ACKNOWLEDGE(x) (!is_using[x] || owner[plan_epoch[x]] == x)
#else
#define MAY_ACKNOWLEDGE(x) (!is_using[x] || (owner[plan_epoch[x]] == x && plan_epoch[x] == shrunk_epoch[x] + 1))
#endif
#endif

byte latest_epoch = 1;     /* latest epoch in the store */
byte owner[EPOCHS];        /* owner of the slot in each epoch */
byte holders[EPOCHS];      /* hosts that hold floors in each epoch */
byte awaited[EPOCHS];      /* other hosts whose acknowledgement the plan requires */
byte proved_dead[EPOCHS];  /* hosts that were proved dead when the epoch was written */

bool dead[HOSTS];
byte plan_epoch[HOSTS];    /* epoch of the plan that the host applies */
byte shrunk_epoch[HOSTS];  /* epoch up to which the host has released what it lost */
byte reported_epoch[9];    /* shrunk_epoch of each host as last reported to each peer */
bool is_using[HOSTS];      /* whether a request from the host occupies the slot */

byte other;
byte host;
byte peer;
bool is_entitled;

/* Sets is_entitled if x owns the slot and every other host that may hold it has released it. */
inline check_entitled(x) {
	is_entitled = !dead[x] && owner[plan_epoch[x]] == x;
#ifndef NO_ACK
	other = 0;
	do
	:: other < HOSTS ->
		if
		:: other != x && !HAS(proved_dead[plan_epoch[x]], other) &&
		   REPORTED_EPOCH(x, other) < plan_epoch[x] && MAY_HOLD(x, other) ->
			is_entitled = false
		:: else
		fi;
		other++
	:: else -> break
	od
#endif
}

/* The writer appends the plan that follows the one it applies, with `next` as the owner of the slot. */
inline write_plan(writer, next) {
	latest_epoch = plan_epoch[writer] + 1;
	owner[latest_epoch] = next;
	holders[latest_epoch] = BIT(next);
	proved_dead[latest_epoch] = 0;
	awaited[latest_epoch] = 0;
	other = 0;
	do
	:: other < HOSTS ->
		if
		:: !HAS(holders[latest_epoch - 1] | awaited[latest_epoch - 1], other) || other == next -> skip
		:: else ->
			if
			:: other != writer && COUNTS_AS_DEAD(other) -> proved_dead[latest_epoch] = proved_dead[latest_epoch] | BIT(other)
			:: else ->
				if
				:: HAS(holders[latest_epoch - 1], other) || REPORTED_EPOCH(writer, other) < latest_epoch - 1 ->
					awaited[latest_epoch] = awaited[latest_epoch] | BIT(other)
				:: else
				fi
			fi
		fi;
		other++
	:: else -> break
	od
}

active proctype System() {
	atomic {
		holders[1] = BIT(0);
		plan_epoch[0] = 1; plan_epoch[1] = 1; plan_epoch[2] = 1;
		shrunk_epoch[0] = 1; shrunk_epoch[1] = 1; shrunk_epoch[2] = 1;
		other = 0;
		do
		:: other < 9 -> reported_epoch[other] = 1; other++
		:: else -> break
		od
	}
	do
	:: atomic {
		select(host : 0 .. 2);
		select(peer : 0 .. 2);
		if
		:: !dead[host] && !dead[peer] && plan_epoch[host] < EPOCHS - 1 && MAY_WRITE(host) -> write_plan(host, peer)
		:: peer == host && !dead[host] && plan_epoch[host] < latest_epoch -> plan_epoch[host] = latest_epoch
		:: !dead[host] && !dead[peer] && plan_epoch[host] < plan_epoch[peer] -> plan_epoch[host] = plan_epoch[peer]
		:: peer == host && !dead[host] && shrunk_epoch[host] < plan_epoch[host] && MAY_ACKNOWLEDGE(host) ->
			shrunk_epoch[host] = plan_epoch[host]
		:: host != peer && !dead[host] && !dead[peer] && REPORTED_EPOCH(host, peer) < shrunk_epoch[peer] ->
			REPORTED_EPOCH(host, peer) = shrunk_epoch[peer]
		:: peer == host && !is_using[host] ->
			check_entitled(host);
			if
			:: is_entitled -> is_using[host] = true
			:: else
			fi
		:: peer == host && !dead[host] && is_using[host] -> is_using[host] = false
		/* Requests that run at a host end when the host dies. */
		:: peer == host && !dead[host] && dead[0] + dead[1] + dead[2] < 2 -> dead[host] = true; is_using[host] = false
		:: else
		fi;
		assert(is_using[0] + is_using[1] + is_using[2] <= 1);
		other = 0; host = 0; peer = 0; is_entitled = false
	}
	od
}
