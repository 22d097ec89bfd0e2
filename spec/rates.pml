/*
 * Loans of a part of a customer's rate for a term.
 *
 * The lender stops using the part when it grants the loan, until the term and the drift allowance have passed. The
 * borrower issues tokens from the part once it has the answer, until the term has passed since it sent its request.
 * It measures this by its own clock, which may be slow by the drift, and reads the clock each time it issues tokens,
 * however long it was paused. Answers may be delayed, lost or duplicated. A later request renews the loan.
 *
 * Safety: lender and borrower never issue tokens from the same part at the same time.
 *
 * Mutations that the check must refute: NO_DRIFT (the lender adds no drift allowance), FROM_RECEIPT (the borrower
 * counts the term from the receipt of the answer), NO_CLOCK_CHECK (the borrower relies on a timer that a pause
 * delays), OLD_ANSWER (the borrower accepts the answer to an earlier request as the answer to its latest).
 */

#define TERM 3
#define DRIFT 1
#define HORIZON 12

#ifdef NO_DRIFT
#define DRIFT_ALLOWANCE 0
#else
#define DRIFT_ALLOWANCE DRIFT
#endif
#ifdef FROM_RECEIPT
#define TERM_START borrower_clock
#else
#define TERM_START request_sent_at
#endif
#ifdef NO_CLOCK_CHECK
#define IS_VALID is_timer_running
#else
#define IS_VALID (borrower_clock < valid_until)
#endif
#ifdef OLD_ANSWER
#define ACCEPTS_ANSWER true
#else
#define ACCEPTS_ANSWER (answer_in_flight == latest_request)
#endif

byte now;                     /* true time in ticks */
byte borrower_clock;          /* time in ticks by the borrower's clock */
byte ticks_since_lag = TERM;  /* ticks since the borrower's clock last missed one, at most TERM */
byte latest_request;          /* number of the latest request */
byte request_sent_at;         /* borrower_clock when the latest request was sent */
byte request_in_flight;       /* number of the request in flight; 0 for none */
byte answer_in_flight;        /* number of the request whose answer is in flight; 0 for none */
byte lent_until;              /* true time until which the lender does not use the part */
byte valid_until;             /* borrower_clock value at which the borrower must stop using the part */
bool is_timer_running;        /* whether the borrower's timer has not expired */

active proctype System() {
	do
	:: atomic {
		if
		:: now < HORIZON ->
			now++;
			if
			:: borrower_clock++;
				if
				:: ticks_since_lag < TERM -> ticks_since_lag++
				:: else
				fi
			/* The borrower's clock misses at most one tick in a term. */
			:: ticks_since_lag >= TERM -> ticks_since_lag = 0
			fi
		:: latest_request < 3 && request_in_flight == 0 ->
			latest_request++; request_sent_at = borrower_clock; request_in_flight = latest_request
		:: request_in_flight > 0 ->
			lent_until = now + TERM + DRIFT_ALLOWANCE;
			answer_in_flight = request_in_flight;
			if
			:: request_in_flight = 0
			:: skip
			fi
		:: request_in_flight > 0 -> request_in_flight = 0
		:: answer_in_flight > 0 ->
			if
			:: ACCEPTS_ANSWER -> valid_until = TERM_START + TERM; is_timer_running = true
			:: else
			fi;
			if
			:: answer_in_flight = 0
			:: skip
			fi
		:: answer_in_flight > 0 -> answer_in_flight = 0
		:: is_timer_running && borrower_clock >= valid_until -> is_timer_running = false
		:: IS_VALID -> assert(now < lent_until)
		:: else -> break
		fi
	}
	od
}
