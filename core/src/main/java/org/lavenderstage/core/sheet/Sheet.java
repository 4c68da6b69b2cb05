package org.lavenderstage.core.sheet;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** A sheet whose rows have been checked. */
public final class Sheet {
  /** The sheet before the first publication. */
  public static final Sheet EMPTY = new Sheet(List.of(), List.of(), List.of(), List.of());

  private final Map<String, WorkspaceRow> workspaces;
  private final Map<String, ServiceRow> services;
  private final Map<String, BatchClassRow> batchClasses;
  private final List<PairRow> pairs;

  /**
   * Creates a sheet from checked rows.
   *
   * @param workspaces the workspaces, with distinct names
   * @param services the services, with distinct names
   * @param batchClasses the batch classes, with distinct names
   * @param pairs the pair rules
   */
  public Sheet(
      List<WorkspaceRow> workspaces,
      List<ServiceRow> services,
      List<BatchClassRow> batchClasses,
      List<PairRow> pairs) {
    this.workspaces = byName(workspaces, WorkspaceRow::name);
    this.services = byName(services, ServiceRow::name);
    this.batchClasses = byName(batchClasses, BatchClassRow::name);
    this.pairs = List.copyOf(pairs);
  }

  private static <T> Map<String, T> byName(List<T> rows, Function<T, String> name) {
    return rows.stream().collect(Collectors.toUnmodifiableMap(name, Function.identity()));
  }

  /**
   * Finds a workspace.
   *
   * @param name its name
   * @return its row, empty if the sheet has none
   */
  public Optional<WorkspaceRow> workspace(String name) {
    return Optional.ofNullable(workspaces.get(name));
  }

  /**
   * Finds a service.
   *
   * @param name its name
   * @return its row, empty if the sheet has none
   */
  public Optional<ServiceRow> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Finds a batch class.
   *
   * @param name its name
   * @return its row, empty if the sheet has none
   */
  public Optional<BatchClassRow> batchClass(String name) {
    return Optional.ofNullable(batchClasses.get(name));
  }

  Collection<WorkspaceRow> workspaces() {
    return workspaces.values();
  }

  Collection<ServiceRow> services() {
    return services.values();
  }

  Collection<BatchClassRow> batchClasses() {
    return batchClasses.values();
  }

  /**
   * Returns the pair rules.
   *
   * @return the rules in the order of the sheet
   */
  public List<PairRow> pairs() {
    return pairs;
  }

  /**
   * Returns the number of rows of all kinds.
   *
   * @return the number
   */
  public int size() {
    return workspaces.size() + services.size() + batchClasses.size() + pairs.size();
  }
}
