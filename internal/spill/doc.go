// Package spill decides which requests of a pool run in another region.
//
// A pool is the set of engines that serve one model in one region. Its home decides for all instances of the region. A
// home that is short of room asks the homes of the same model's pools in other regions a few times a second what they can
// take. The answer holds their predicted first event and a grant: the tokens and requests that they take beyond what they
// need themselves. A request goes to another region if its predicted first event here exceeds the one there by the round
// trip and a margin, as long as the grant and the budget of the link last. Because one home spends a grant, and counts
// what it has sent since the figures were made, late figures do not make it send more than the other side has room for.
//
// Home is the state of one pool on its home, for both sides of the exchange. Budget is the budget of the link, which the
// pools of one home share. Neither has goroutines, I/O or a clock, and neither is safe for concurrent use except Budget.
//
// # Usage
//
//	home := spill.NewHome("north", spill.NewBudget())
//	home.SetRegions([]string{"south"})
//	decision := scheduler.OfferOr(request, home.Choose, now)
//	if home.Due("south", now) {
//		question := home.Ask("south", scheduler.Outlook(sched.KindShort, now), scheduler.Outlook(sched.KindLong, now), now)
//		answer := other.Answer(question, ...) // at the home in the other region
//		home.Learn("south", answer, now, later)
//	}
package spill
