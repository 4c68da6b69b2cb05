package org.lavenderstage.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.lavenderstage.core.configuration.ConfigurationFinding.Code;

/**
 * Finds the defects of a configuration before it is published: values out of range, routes that can
 * never match a request and limits that contradict each other. Requests are matched as in {@link
 * org.lavenderstage.core.job.QueueTable}.
 */
public final class ConfigurationCheck {
  /** Number of hexadecimal digits of a job's identifier, which follows the path prefix. */
  private static final int IDENTIFIER_DIGITS = 16;

  /** Longest payload of a job in bytes, which every body must have room for. */
  private static final long MAX_PAYLOAD_BYTES = 4_000;

  private static final Pattern HOST = Pattern.compile("[A-Za-z0-9.-]+");

  /** A path as it stands in a request line: without white space, query and fragment. */
  private static final Pattern PREFIX_FORM = Pattern.compile("/[!-~&&[^?#]]*");

  private static final Pattern IDENTIFIER_START =
      Pattern.compile("[0-9A-Fa-f]{1," + IDENTIFIER_DIGITS + "}");

  private final ConfigurationDraft draft;
  private final List<ConfigurationFinding> findings = new ArrayList<>();

  private ConfigurationCheck(ConfigurationDraft draft) {
    this.draft = draft;
  }

  /**
   * Checks a configuration.
   *
   * @param draft the configuration
   * @param versionInForce number of the version in force, empty if it is not known
   * @return the defects, those of the routes first
   */
  public static List<ConfigurationFinding> findings(
      ConfigurationDraft draft, OptionalLong versionInForce) {
    ConfigurationCheck check = new ConfigurationCheck(draft);
    check.checkVersion(versionInForce);
    check.checkRoutes();
    check.checkServices();
    check.checkLimits();
    return List.copyOf(check.findings);
  }

  private void add(Code code, String entry, String detail) {
    findings.add(new ConfigurationFinding(code, entry, detail));
  }

  private void requireAtLeast(long minimum, long value, String entry, String what) {
    if (value < minimum) {
      add(Code.OUT_OF_RANGE, entry, what + " is " + value + ", expected at least " + minimum);
    }
  }

  private void checkVersion(OptionalLong versionInForce) {
    requireAtLeast(1, draft.version(), "version", "the version");
    if (versionInForce.isPresent() && draft.version() <= versionInForce.getAsLong()) {
      add(
          Code.OUTDATED_VERSION,
          "version",
          "version "
              + draft.version()
              + " is ignored: version "
              + versionInForce.getAsLong()
              + " is in force");
    }
  }

  private void checkRoutes() {
    Set<String> services =
        draft.services().stream().map(ServiceDraft::name).collect(Collectors.toSet());
    Set<String> names = new HashSet<>();
    for (RouteDraft route : draft.routes()) {
      String entry = "route " + route.name();
      if (!names.add(route.name())) {
        add(Code.DUPLICATE_NAME, entry, "there is another route of this name");
      }
      if (!services.contains(route.service())) {
        add(Code.UNKNOWN_SERVICE, entry, "no service is named " + route.service());
      }
      requireAtLeast(0, route.priority(), entry, "the priority");
      requireAtLeast(1, route.maxAttempts(), entry, "the number of attempts");
      requireAtLeast(0, route.timeoutMillis(), entry, "the timeout");
      if (!(route.slackFactor() >= 1)) {
        add(
            Code.OUT_OF_RANGE,
            entry,
            "the slack factor is " + route.slackFactor() + ", expected at least 1");
      }
      checkMatches(route, entry);
    }
    checkOverlaps();
  }

  private void checkMatches(RouteDraft route, String entry) {
    if (!HOST.matcher(route.host()).matches()) {
      add(
          Code.NEVER_MATCHES,
          entry,
          "the host is '" + route.host() + "', expected a name without port");
    }
    if (!PREFIX_FORM.matcher(route.pathPrefix()).matches()) {
      add(
          Code.NEVER_MATCHES,
          entry,
          "the path prefix is '"
              + route.pathPrefix()
              + "', expected a path that begins with a slash, without query and white space");
    }
  }

  /** Checks each pair of routes of which one may take requests of the other. */
  private void checkOverlaps() {
    Map<String, List<RouteDraft>> routesByHost = new HashMap<>();
    for (RouteDraft route : draft.routes()) {
      String host = route.host().toLowerCase(Locale.ROOT);
      List<RouteDraft> earlier = routesByHost.computeIfAbsent(host, key -> new ArrayList<>());
      earlier.forEach(other -> checkOverlap(other, route));
      earlier.add(route);
    }
  }

  private void checkOverlap(RouteDraft earlier, RouteDraft later) {
    if (earlier.pathPrefix().equals(later.pathPrefix())) {
      add(
          Code.NEVER_MATCHES,
          "route " + later.name(),
          "route " + earlier.name() + " has the same host and path prefix and comes first");
      return;
    }
    boolean laterIsLonger = later.pathPrefix().length() > earlier.pathPrefix().length();
    RouteDraft longer = laterIsLonger ? later : earlier;
    RouteDraft shorter = laterIsLonger ? earlier : later;
    if (longer.pathPrefix().startsWith(shorter.pathPrefix())
        && IDENTIFIER_START
            .matcher(longer.pathPrefix().substring(shorter.pathPrefix().length()))
            .matches()) {
      add(
          Code.PARTLY_HIDDEN,
          "route " + shorter.name(),
          "jobs whose path begins with " + longer.pathPrefix() + " go to route " + longer.name());
    }
  }

  private void checkServices() {
    Set<String> used = draft.routes().stream().map(RouteDraft::service).collect(Collectors.toSet());
    Set<String> names = new HashSet<>();
    for (ServiceDraft service : draft.services()) {
      String entry = "service " + service.name();
      if (!names.add(service.name())) {
        add(Code.DUPLICATE_NAME, entry, "there is another service of this name");
      }
      requireAtLeast(1, service.maxConnections(), entry, "the number of connections");
      if (!used.contains(service.name())) {
        add(Code.UNUSED_SERVICE, entry, "no route uses it");
      } else if (service.standby()) {
        add(Code.CONTRADICTING_LIMITS, entry, "its workers are switched off, but routes use it");
      }
    }
  }

  private void checkLimits() {
    LimitsDraft limits = draft.limits();
    String entry = "limits";
    limits
        .maxHeaderBytes()
        .ifPresent(bytes -> requireAtLeast(1, bytes, entry, "the size of headers"));
    limits
        .headerTimeoutMillis()
        .ifPresent(millis -> requireAtLeast(1, millis, entry, "the timeout of headers"));
    limits
        .idleTimeoutMillis()
        .ifPresent(millis -> requireAtLeast(1, millis, entry, "the idle timeout"));
    if (limits.maxBodyBytes().orElse(Long.MAX_VALUE) <= MAX_PAYLOAD_BYTES) {
      add(
          Code.CONTRADICTING_LIMITS,
          entry,
          "a body has at most "
              + limits.maxBodyBytes().getAsLong()
              + " bytes, but the payload of a job may have "
              + MAX_PAYLOAD_BYTES);
    }
    if (limits.idleTimeoutMillis().isEmpty()) {
      return;
    }
    long idleMillis = limits.idleTimeoutMillis().getAsLong();
    if (limits.headerTimeoutMillis().orElse(0) > idleMillis) {
      add(
          Code.CONTRADICTING_LIMITS,
          entry,
          "the timeout of headers is "
              + limits.headerTimeoutMillis().getAsLong()
              + " ms, but idle connections are closed after "
              + idleMillis
              + " ms");
    }
    for (RouteDraft route : draft.routes()) {
      if (route.timeoutMillis() > idleMillis) {
        add(
            Code.CONTRADICTING_LIMITS,
            "route " + route.name(),
            "the timeout is "
                + route.timeoutMillis()
                + " ms, but idle connections are closed after "
                + idleMillis
                + " ms");
      }
    }
  }
}
