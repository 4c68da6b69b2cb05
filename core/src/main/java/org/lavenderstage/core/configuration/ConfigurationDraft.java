package org.lavenderstage.core.configuration;

import java.util.List;
import java.util.Map;

/**
 * A configuration as written by the operator. Its values have the right types but are not checked
 * otherwise.
 *
 * @param version number of the version
 * @param routes the routes, in the order of the file
 * @param services the services, in the order of the file
 * @param limits the limits for clients
 * @param attributes the values of all fields as text, by entry and field; includes fields that this
 *     version of the program does not know
 */
public record ConfigurationDraft(
    long version,
    List<RouteDraft> routes,
    List<ServiceDraft> services,
    LimitsDraft limits,
    Map<String, Map<String, String>> attributes) {}
