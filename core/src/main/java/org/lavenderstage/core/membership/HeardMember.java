package org.lavenderstage.core.membership;

/**
 * A peer and the time since its last heartbeat.
 *
 * @param member the peer as described by its last heartbeat
 * @param silentMillis time since its last heartbeat in milliseconds
 */
public record HeardMember(Member member, long silentMillis) {}
