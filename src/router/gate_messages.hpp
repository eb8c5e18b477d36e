// Kinds of datagrams between instances and gates. Internal to `router`.
//
//     switch (message.at(0).get<int>()) {
//     case slot_request_message: ...

#ifndef FILBERTHUB_ROUTER_GATE_MESSAGES_HPP
#define FILBERTHUB_ROUTER_GATE_MESSAGES_HPP

namespace filberthub {

// Kinds of messages, the first element of each.
// [1, number, service, group, owner or "", urgency, ms to the target time,
//  ms to the answer deadline, failure domain, cross-domain cost in ms,
//  excluded servers, age of the first attempt in ms]; sent again under the same
//  number to ask again
inline constexpr int slot_request_message = 1;
// [2, number, decision, server, wait in ms]
inline constexpr int decision_message = 2;
// [3, number, outcome, ms taken, running, waiting, slots, slowdown]; no load
// report if slots is 0, and no slowdown if that is 0.
inline constexpr int finish_message = 3;

} // namespace filberthub

#endif
