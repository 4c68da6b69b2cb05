package org.lavenderstage.core.membership;

/**
 * A peer with the time since its last heartbeat.
 *
 * @param member the peer as it last described itself
 * @param silentMillis time since its last heartbeat in milliseconds
 */
public record HeardMember(Member member, long silentMillis) {}
