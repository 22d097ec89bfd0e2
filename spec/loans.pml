/*
 * Loans of the slots of one target.
 *
 * An owner with two slots lends to one borrower, which asks by numbered requests. Requests and answers may be lost,
 * delayed or duplicated. The borrower starts requests on a loan only within the loan's term, but a request may
 * occupy its slot for any length of time afterwards. Any process may take no step for any length of time, which
 * covers pauses and partitions.
 *
 * Safety: owner and borrower together never use more slots than the limit.
 *
 * Mutations that the check must refute: NO_SEQUENCE (the owner acts on old requests), NO_MATCH (the borrower accepts
 * answers to old requests), NO_FILLED (the borrower asks for fewer slots than it uses), TERM_ENDS_USE (the owner
 * reclaims all lent slots when the term ends), IGNORE_PAUSE (the borrower does not check the term when it uses a
 * loan, while the owner reclaims idle slots when the term ends).
 */

#define LIMIT 2
#define REQUESTS 4

#ifdef NO_SEQUENCE
#define IS_NEW_REQUEST(number) true
#else
#define IS_NEW_REQUEST(number) ((number) > acted_request)
#endif
#ifdef NO_MATCH
#define ANSWERS_LATEST(number) ((number) > 0)
#else
#define ANSWERS_LATEST(number) ((number) == latest_request)
#endif
#ifdef NO_FILLED
#define MIN_WANTED 0
#else
#define MIN_WANTED borrower_in_use
#endif

byte owner_in_use;   /* slots that the owner's own requests use */
byte lent;           /* slots that the owner counts as lent */
byte acted_request;  /* number of the latest request that the owner acted on */

byte latest_request;   /* number of the borrower's latest request */
byte held;             /* slots that the borrower may use, including those in use */
byte borrower_in_use;  /* slots that the borrower's requests use */
bool is_in_term;       /* whether the loan's term is running by the borrower's clock */

byte request_number[2];  /* requests in flight; 0 for none */
byte request_wanted[2];
byte answer_number[2];   /* answers in flight; 0 for none */
byte answer_held[2];

byte channel;
byte number;
byte wanted;

#define FREE (LIMIT - owner_in_use - lent)

active proctype System() {
	do
	:: atomic {
		select(channel : 0 .. 1);
		if
		/* The owner starts or finishes a request of its own. */
		:: channel == 0 && LIMIT > owner_in_use + lent -> owner_in_use++
		:: channel == 0 && owner_in_use > 0 -> owner_in_use--
		/* The borrower asks for the slots in use and optionally one more. Asking releases its idle slots. */
		:: latest_request < REQUESTS && request_number[channel] == 0 ->
			latest_request++;
			wanted = MIN_WANTED;
			if
			:: wanted < LIMIT -> wanted++
			:: skip
			fi;
			held = borrower_in_use;
			request_number[channel] = latest_request;
			request_wanted[channel] = wanted
		/* The owner acts on a request. The request may stay in flight and be delivered again. */
		:: request_number[channel] > 0 ->
			number = request_number[channel];
			wanted = request_wanted[channel];
			if
			:: IS_NEW_REQUEST(number) ->
				acted_request = number;
				if
				:: wanted > lent + FREE -> wanted = lent + FREE
				:: else
				fi;
				lent = wanted;
				answer_number[channel] = number;
				answer_held[channel] = wanted
			:: else
			fi;
			if
			:: request_number[channel] = 0; request_wanted[channel] = 0
			:: skip
			fi
		:: request_number[channel] > 0 -> request_number[channel] = 0; request_wanted[channel] = 0
		/* An answer arrives or is lost. */
		:: answer_number[channel] > 0 ->
			if
			:: ANSWERS_LATEST(answer_number[channel]) -> held = answer_held[channel]; is_in_term = true
			:: else
			fi;
			answer_number[channel] = 0; answer_held[channel] = 0
		:: answer_number[channel] > 0 -> answer_number[channel] = 0; answer_held[channel] = 0
		/* The borrower starts or finishes a request, or its term ends. */
		:: channel == 0 && is_in_term && borrower_in_use < held -> borrower_in_use++
		:: channel == 0 && borrower_in_use > 0 -> borrower_in_use--
		:: channel == 0 && is_in_term -> is_in_term = false
#ifdef TERM_ENDS_USE
		:: channel == 0 && !is_in_term && lent > 0 -> lent = 0
#endif
#ifdef IGNORE_PAUSE
		:: channel == 0 && lent > borrower_in_use -> lent = borrower_in_use
#endif
		:: else
		fi;
		assert(owner_in_use + borrower_in_use <= LIMIT);
		channel = 0; number = 0; wanted = 0
	}
	od
}
